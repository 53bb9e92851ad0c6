/** The catalogue of numbered log events. */
package org.catkinlift.events;
