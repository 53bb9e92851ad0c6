/** The events and actions of the control thread. */
package org.catkinlift.control;
