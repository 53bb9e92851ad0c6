/** Admission, queues and limits of upstreams. */
package org.catkinlift.limits;
