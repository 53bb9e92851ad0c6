/** An in-memory stand-in for the platform's transactional table, object store and host list. */
package org.catkinlift.standin.platform;
