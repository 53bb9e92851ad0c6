/** The daemon process. */
package org.catkinlift.daemon;
