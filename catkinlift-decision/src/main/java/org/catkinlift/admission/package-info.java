/** Admission and queueing of requests, and selection of the upstream for each. */
package org.catkinlift.admission;
