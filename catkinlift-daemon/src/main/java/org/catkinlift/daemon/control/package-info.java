/** The control thread and the interface that executes its actions. */
package org.catkinlift.daemon.control;
