/** The immutable values that all decisions share. */
package org.catkinlift.model;
