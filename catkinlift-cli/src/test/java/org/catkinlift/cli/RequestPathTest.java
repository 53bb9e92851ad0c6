package org.catkinlift.cli;

import static com.google.common.truth.Truth.assertThat;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.catkinlift.model.HostId;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Guards against entry hosts from which requests do not reach the owner of their key. */
final class RequestPathTest {
  private static final HostId SUVA = HostId.of("suva-1");

  @Tag("known-red")
  @Test
  void everyDaemonServesEveryKey() throws Exception {
    try (TestSite site = TestSite.start("suva", "nadi")) {
      site.awaitServing();

      for (int i = 0; i < 50; i++) {
        String key = "school-" + i;
        HttpResponse<String> answer = site.get(SUVA, "/v1/order-desk/" + key + "/lookup/" + key);

        assertThat(answer.statusCode()).isEqualTo(200);
        assertThat(answer.body()).contains(key);
      }
    }
  }

  @Test
  void echoesRequestIdAndRunsOrder() throws Exception {
    try (TestSite site = TestSite.start("suva")) {
      site.awaitServing();
      HttpRequest.Builder order =
          HttpRequest.newBuilder()
              .POST(HttpRequest.BodyPublishers.ofString("2 diaries"))
              .header("Catkinlift-Request-Id", "order-17");

      HttpResponse<String> answer =
          site.send(SUVA, order, "/v1/order-desk/school-9/orders/school-9");

      assertThat(answer.statusCode()).isAnyOf(200, 201);
      assertThat(answer.headers().firstValue("Catkinlift-Request-Id").orElse(""))
          .isEqualTo("order-17");
    }
  }
}
