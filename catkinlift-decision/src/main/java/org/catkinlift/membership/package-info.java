/** Cell membership: discovery of daemons and detection of failed ones. */
package org.catkinlift.membership;
