/** Request quotas of tenants, kept over all daemons together. */
package org.catkinlift.quotas;
