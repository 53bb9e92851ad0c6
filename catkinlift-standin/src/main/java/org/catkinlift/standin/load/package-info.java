/** Load generator with seeded requests, response checks, and an audit of upstream activity. */
package org.catkinlift.standin.load;
