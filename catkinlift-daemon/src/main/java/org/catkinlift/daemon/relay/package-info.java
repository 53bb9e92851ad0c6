/**
 * Carries attempts between the caller side of a request and its dispatcher, which may be local or
 * remote.
 */
package org.catkinlift.daemon.relay;
