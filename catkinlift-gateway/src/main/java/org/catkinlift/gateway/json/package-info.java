/** Reading of JSON texts. */
package org.catkinlift.gateway.json;
