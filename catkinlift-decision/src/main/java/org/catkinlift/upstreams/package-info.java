/** What upstreams state about themselves, and which of them may get new work. */
package org.catkinlift.upstreams;
