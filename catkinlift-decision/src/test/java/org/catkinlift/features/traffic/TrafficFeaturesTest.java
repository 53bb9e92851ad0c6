package org.catkinlift.features.traffic;

import static io.cucumber.junit.platform.engine.Constants.GLUE_PROPERTY_NAME;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectClasspathResource;
import org.junit.platform.suite.api.Suite;

/** Runs the feature files of the traffic path. */
@Suite
@IncludeEngines("cucumber")
@SelectClasspathResource("features/traffic")
@ConfigurationParameter(key = GLUE_PROPERTY_NAME, value = "org.catkinlift.features.traffic")
final class TrafficFeaturesTest {}
