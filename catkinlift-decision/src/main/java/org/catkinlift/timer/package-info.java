/** The timer service that parts subscribe to. */
package org.catkinlift.timer;
