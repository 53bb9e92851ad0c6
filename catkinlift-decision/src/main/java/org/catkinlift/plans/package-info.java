/** Plans for configuration changes: creation, validation, confirmation and queries. */
package org.catkinlift.plans;
