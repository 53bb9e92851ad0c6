package org.catkinlift.gateway.settings;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.catkinlift.gateway.settings.GatewaySettings.CallerBounds;
import org.catkinlift.model.NetworkAddress;
import org.junit.jupiter.api.Test;

/** Guards against a daemon that starts with missing or invalid settings. */
final class GatewaySettingsReaderTest {
  private static final String VALID =
      """
      {"host":"h-1","zone":"z","processor":{"share":0.75,"cores":2},"later":{"a":1},
       "addresses":{"callers":"10.0.0.1:1","health":"10.0.0.1:2","healthPath":"/ready",
                    "peers":"10.0.0.1:3","metrics":"10.0.0.1:4","store":"10.0.0.9:5"},
       "bounds":{"drain":"2000ms","evacuate":"5s","stopGrace":"6s","longestHold":"10s"},
       "repeats":{"ratio":0.2,"slack":62,"window":"10s"},
       "headers":{"requestId":"X-Request-Id","deadlineMillis":"d","key":"k","signature":"s",
                  "expectedUpstream":"e","notExecuted":"n","answeringUpstream":"a","load":"l",
                  "tenant":"X-Tenant","credentials":"Authorization","credentialsScheme":"Token"},
       "limits":{"callerBytes":2000000,"callerConnections":100,"descriptors":4100,"headerFields":50,
                 "pipelinedRequests":4}}
      """;

  @Test
  void readsKnownFieldsAndIgnoresUnknownOnes() {
    GatewaySettings settings = GatewaySettingsReader.parse(VALID);

    assertThat(settings.addresses().store()).isEqualTo(NetworkAddress.of("10.0.0.9", 5));
    assertThat(settings.timeLimits().drain()).isEqualTo(Duration.ofSeconds(2));
    assertThat(settings.cpuCapacity()).isEqualTo(1.5);
    assertThat(settings.retryBudget().retriesPerWindow()).isEqualTo(62);
    assertThat(settings.headers().requestId()).isEqualTo("x-request-id");
  }

  @Test
  void boundsOnCallersAreOptional() {
    GatewaySettings stated = GatewaySettingsReader.parse(VALID);
    GatewaySettings missing = GatewaySettingsReader.parse(VALID.replace("\"limits\"", "\"other\""));

    assertThat(stated.callerBounds())
        .isEqualTo(
            new CallerBounds(
                OptionalLong.of(2_000_000), OptionalInt.of(100), OptionalInt.of(4_100), 50, 4));
    assertThat(missing.callerBounds()).isEqualTo(CallerBounds.DEFAULT);
  }

  @Test
  void missingOrInvalidFieldIsNamedInTheError() {
    String[][] changes = {
      {"\"host\":\"h-1\",", "", "host"},
      {"\"zone\":\"z\"", "\"zone\":null", "zone"},
      {"\"cores\":2", "\"cores\":0", "cores"},
      {"\"share\":0.75", "\"share\":\"half\"", "share"},
      {"10.0.0.1:1\"", "10.0.0.1\"", "callers"},
      {"10.0.0.9:5", "10.0.0.9:99999", "store"},
      {"\"2000ms\"", "\"2000\"", "drain"},
      {"\"5s\"", "\"-5s\"", "evacuate"},
      {"\"ratio\":0.2", "\"ratio\":\"much\"", "ratio"},
      {"\"load\":\"l\"", "\"load\":[]", "load"},
      {"2000000", "2000", "callerBytes"},
      {"\"callerConnections\":100", "\"callerConnections\":0", "callerConnections"},
      {"\"descriptors\":4100", "\"descriptors\":0", "descriptors"},
      {"\"headerFields\":50", "\"headerFields\":\"few\"", "headerFields"},
      {"\"pipelinedRequests\":4", "\"pipelinedRequests\":-1", "pipelinedRequests"},
      {"\"repeats\"", "\"other\"", "ratio"},
      {"\"tenant\":\"X-Tenant\",", "", "tenant"},
      {"\"Token\"", "\"To ken\"", "credentialsScheme"},
      {"\"10s\"}", "\"10s\",\"revocation\":null}", "revocation"},
      {"\"10s\"}", "\"10s\",\"revocation\":\"5\",\"failClosed\":false}", "revocation"},
      {"\"10s\"}", "\"10s\",\"revocation\":\"5s\",\"failClosed\":1}", "failClosed"},
      {"\"10s\"}", "\"10s\",\"failClosed\":true}", "failClosed"},
    };
    for (String[] change : changes) {
      String json = VALID.replace(change[0], change[1]);
      assertThat(json).isNotEqualTo(VALID);
      var thrown =
          assertThrows(
              GatewaySettingsException.class, () -> GatewaySettingsReader.parse(json), change[2]);
      assertThat(thrown).hasMessageThat().contains("'" + change[2] + "'");
    }
    assertThrows(GatewaySettingsException.class, () -> GatewaySettingsReader.parse("{"));
  }
}
