package stileferry.coordination;

import java.util.List;
import java.util.function.Consumer;
import stileferry.protocol.Environment;
import stileferry.protocol.MachineType;

/** Reads the machine types that the cloud offers, periodically, and keeps the last successful result. */
final class MachineTypeCatalog {
    private static final long REQUEST_TIMEOUT_MS = 5000;
    private static final long REFRESH_INTERVAL_MS = 60_000;
    private static final long MIN_RETRY_DELAY_MS = 1000;
    private static final long RETRY_JITTER_MS = 1000;

    private final Environment environment;
    private final String cloudAddress;
    private final Consumer<List<MachineType>> onRead;
    private List<MachineType> types = List.of();

    /** {@code onRead} is called whenever the types have been read successfully. */
    MachineTypeCatalog(Environment environment, String cloudAddress, Consumer<List<MachineType>> onRead) {
        this.environment = environment;
        this.cloudAddress = cloudAddress;
        this.onRead = onRead;
    }

    /** Returns the types as last read, or an empty list if they have not been read yet. */
    List<MachineType> types() {
        return types;
    }

    /** Reads the types now and then periodically; called once. */
    void refresh() {
        environment.request(cloudAddress, "GET", "/machine_types", null, REQUEST_TIMEOUT_MS, (status, body) -> {
            List<MachineType> read = status == 200 && body != null ? MachineType.readAll(body) : List.of();
            if (!read.isEmpty()) {
                types = read;
                onRead.accept(read);
            }
            environment.schedule(
                    types.isEmpty()
                            ? MIN_RETRY_DELAY_MS + environment.random().nextLong(RETRY_JITTER_MS)
                            : REFRESH_INTERVAL_MS,
                    this::refresh);
        });
    }
}
