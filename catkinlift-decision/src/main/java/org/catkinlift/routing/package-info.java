/** The choice of upstream and dispatcher for each request. */
package org.catkinlift.routing;
