package org.catkinlift.control.features;

import static io.cucumber.junit.platform.engine.Constants.GLUE_PROPERTY_NAME;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectClasspathResource;
import org.junit.platform.suite.api.Suite;

/** Runs the features of configuration and plans. */
@Suite
@IncludeEngines("cucumber")
@SelectClasspathResource("features/configuration.feature")
@SelectClasspathResource("features/plans.feature")
@ConfigurationParameter(key = GLUE_PROPERTY_NAME, value = "org.catkinlift.control.features")
public final class ControlFeaturesTest {}
