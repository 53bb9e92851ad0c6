/** A stand-in for the platform's transactional table, object store and host list, in memory. */
package org.catkinlift.standin.platform;
