/** Retry and hedging rules with their budgets. */
package org.catkinlift.retries;
