/** The load tool: a seeded mix of requests, checks of the answers, and an audit of the records. */
package org.catkinlift.standin.load;
