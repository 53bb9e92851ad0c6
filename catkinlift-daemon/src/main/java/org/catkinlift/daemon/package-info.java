/** The daemon process: command line, start, graceful stop and shared routing state. */
package org.catkinlift.daemon;
