package io.samphiregauge.daemon.traffic;

import io.samphiregauge.core.config.ConfigView;
import io.samphiregauge.core.result.Result;
import io.samphiregauge.net.Address;
import io.samphiregauge.schema.config.Backend;
import io.samphiregauge.schema.config.BackendKind;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Indexes backend servers by the model or service that they serve, and caches their parsed
 * addresses. The index is cleared when the configuration changes; each event loop has its own.
 */
final class BackendIndex {
  private final Map<String, List<Backend>> byModel = new HashMap<>();
  private final Map<String, List<Backend>> byService = new HashMap<>();
  private final Map<String, Result<Address>> addresses = new HashMap<>();
  private ConfigView indexedConfig = ConfigView.empty();

  List<Backend> enginesForModel(ConfigView config, String model) {
    refresh(config);
    return byModel.computeIfAbsent(
        model, name -> config.backends().stream().filter(b -> servesModel(b, name)).toList());
  }

  List<Backend> backendsForService(ConfigView config, String service) {
    refresh(config);
    return byService.computeIfAbsent(
        service, name -> config.backends().stream().filter(b -> servesService(b, name)).toList());
  }

  Result<Address> address(Backend backend) {
    return addresses.computeIfAbsent(backend.getAddress(), Address::parse);
  }

  private void refresh(ConfigView config) {
    if (indexedConfig != config) {
      indexedConfig = config;
      byModel.clear();
      byService.clear();
      addresses.clear();
    }
  }

  private static boolean servesModel(Backend backend, String model) {
    return backend.getKind() == BackendKind.ENGINE
        && AccessControl.anyMatchesModel(backend.getModels(), model);
  }

  private static boolean servesService(Backend backend, String service) {
    return backend.getKind() == BackendKind.SERVICE
        && backend.getService().filter(service::equals).isPresent();
  }
}
