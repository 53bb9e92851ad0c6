/** The inner protocol between daemons. */
package org.catkinlift.gateway.peer;
