/** What the stand-ins and the load tool have in common. */
package org.catkinlift.standin;
