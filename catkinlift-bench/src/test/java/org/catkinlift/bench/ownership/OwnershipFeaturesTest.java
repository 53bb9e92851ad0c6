package org.catkinlift.bench.ownership;

import static io.cucumber.junit.platform.engine.Constants.GLUE_PROPERTY_NAME;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectClasspathResource;
import org.junit.platform.suite.api.Suite;

/** Runs the features of the ownership invariants. */
@Suite
@IncludeEngines("cucumber")
@SelectClasspathResource("features/ownership.feature")
@ConfigurationParameter(key = GLUE_PROPERTY_NAME, value = "org.catkinlift.bench.ownership")
final class OwnershipFeaturesTest {}
