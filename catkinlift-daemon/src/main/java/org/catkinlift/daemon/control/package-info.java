/** The control thread and what carries out its actions. */
package org.catkinlift.daemon.control;
