/** The exchange of a request between its entry side and its dispatcher side, local or remote. */
package org.catkinlift.daemon.relay;
