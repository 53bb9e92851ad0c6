/** The catalogue of numbered log events and the in-memory log of recent decisions. */
package org.catkinlift.events;
