/** The events, actions and messages of the control thread. */
package org.catkinlift.control;
