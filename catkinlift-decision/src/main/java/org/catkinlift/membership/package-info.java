/** Members of cells and the dissemination of versions. */
package org.catkinlift.membership;
