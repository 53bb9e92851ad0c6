/** Planning of the home cells and owners of slots. */
package org.catkinlift.placement;
