/** Operators' intents, plans and confirmations. */
package org.catkinlift.plans;
