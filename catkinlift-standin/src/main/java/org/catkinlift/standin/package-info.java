/** Utilities shared by the stand-ins and the load generator. */
package org.catkinlift.standin;
