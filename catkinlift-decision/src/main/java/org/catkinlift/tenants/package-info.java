/** Tenants and the API keys that identify their requests. */
package org.catkinlift.tenants;
