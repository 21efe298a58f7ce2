import type { Clock, ServiceName, SoftwareVersion } from "@ibislanding/core";
import { STREAM_LIFETIME_MS } from "./streamLifetimeMs";
import type { VersionHistory } from "./versionHistory";

interface Seen {
    readonly firstAtMs: number;
    lastAtMs: number;
}

/** Creates a history without versions; `sharedNowMs` is the clock that the hosts share. */
export const createVersionHistory = (clock: Clock, sharedNowMs: () => number): VersionHistory => {
    const services = new Map<ServiceName, Map<SoftwareVersion, Seen>>();
    /** Versions that are registered now. */
    let registered = new Map<ServiceName, ReadonlySet<SoftwareVersion>>();

    /** Keeps the registered versions of a service, and drops those that were registered too long ago. */
    const refresh = (service: ServiceName): Map<SoftwareVersion, Seen> => {
        const nowMs = clock.monotonicMs();
        const versions = services.get(service) ?? new Map<SoftwareVersion, Seen>();
        registered.get(service)?.forEach(version => {
            const seen = versions.get(version)
                ?? { firstAtMs: services.has(service) ? nowMs : -Infinity, lastAtMs: nowMs };
            seen.lastAtMs = nowMs;
            versions.set(version, seen);
        });
        [...versions]
            .filter(([, { lastAtMs }]) => nowMs - lastAtMs > STREAM_LIFETIME_MS)
            .forEach(([version]) => versions.delete(version));
        if (versions.size > 0) {
            services.set(service, versions);
        }
        return versions;
    };

    const isRegistered = (service: ServiceName, version: SoftwareVersion): boolean =>
        registered.get(service)?.has(version) === true;

    /** Adds a version that was there before this host; one that is listed as registered was so until now. */
    const addEarlier = (service: ServiceName, version: SoftwareVersion, goneAtMs: number): void => {
        const versions = services.get(service) ?? new Map<SoftwareVersion, Seen>();
        const goneForMs = goneAtMs > 0 ? Math.max(0, sharedNowMs() - goneAtMs) : 0;
        const lastAtMs = clock.monotonicMs() - goneForMs;
        if (goneForMs <= STREAM_LIFETIME_MS && !versions.has(version)) {
            services.set(service, versions.set(version, { firstAtMs: -Infinity, lastAtMs }));
        }
    };

    return {
        rows: () =>
            [...services.keys()].flatMap(service =>
                [...refresh(service)].map(([version, { lastAtMs }]) =>
                    [
                        service,
                        version,
                        isRegistered(service, version)
                            ? 0
                            : Math.round(sharedNowMs() - (clock.monotonicMs() - lastAtMs)),
                    ] as const
                )
            ),
        observeRows: rows =>
            rows.forEach(([service, version, goneAtMs]) =>
                addEarlier(service as ServiceName, version as SoftwareVersion, goneAtMs)
            ),
        observe: records => {
            // Versions that disappear were registered until now.
            [...registered.keys()].forEach(refresh);
            registered = new Map(
                [...new Set(records.map(({ service }) => service))].map(service => [
                    service,
                    new Set(
                        records.filter(record => record.service === service).map(({ softwareVersion }) =>
                            softwareVersion
                        ),
                    ),
                ]),
            );
            [...registered.keys()].forEach(refresh);
        },
        versionsOf: service => {
            const nowMs = clock.monotonicMs();
            return [...refresh(service)]
                .map(([softwareVersion, { firstAtMs }]) => ({ softwareVersion, knownForMs: nowMs - firstAtMs }))
                .sort((left, right) => left.knownForMs === right.knownForMs ? 0 : right.knownForMs - left.knownForMs);
        },
    };
};
