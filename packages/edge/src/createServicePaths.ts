import { createResourceStack, type ServiceName } from "@ibislanding/core";
import { probeAddress } from "@ibislanding/gateway";
import { createCutHistory, createReachabilityMonitor } from "@ibislanding/relay";
import type { HostRelayOptions } from "./hostRelayOptions";
import type { ServicePath } from "./servicePath";
import type { ServicePaths } from "./servicePaths";

/**
 * Creates the links of a host, all of which are presumed to be up.
 *
 * Handles a host that loses its links to the upstreams of one service while it reaches those of others.
 */
export const createServicePaths = (
    { clock, random, log, metrics, upstreams, announce, judge }:
        & Pick<HostRelayOptions, "clock" | "random" | "log" | "metrics" | "upstreams" | "announce">
        /** Returns whether other hosts reach upstreams of the service, so that this host is cut off if it reaches none. */
        & { readonly judge: (service: ServiceName) => boolean; },
): ServicePaths => {
    const resources = createResourceStack();
    const paths = new Map<ServiceName, ServicePath>();
    const cuts = metrics.counter(
        "ibis_upstreams_unreachable_total",
        "Times at which no upstream of a service was reached any more.",
    );

    const create = (service: ServiceName): ServicePath => {
        const history = createCutHistory(clock.monotonicMs);
        const monitor = resources.use(createReachabilityMonitor({
            clock,
            random,
            targets: () => upstreams.records().filter(record => record.service === service),
            probe: probeAddress,
            onChange: reachesUpstreams => {
                // Failures of the time before the cut was noticed say nothing about the upstreams.
                upstreams.forgetFailures(service);
                if (reachesUpstreams) {
                    history.end(judge(service));
                }
                else {
                    history.begin();
                    // The same cut may affect services that get few requests.
                    [...paths].filter(([other]) => other !== service).forEach(([, path]) => path.monitor.startCheck());
                }
                cuts.add(reachesUpstreams ? 0 : 1, { service });
                log.write(reachesUpstreams ? "upstreams_reached" : "upstreams_unreachable", {
                    service,
                    isCutOff: !reachesUpstreams && judge(service),
                });
                announce();
            },
        }));
        return { service, monitor, history };
    };

    const of = (service: ServiceName): ServicePath => {
        const path = paths.get(service) ?? create(service);
        paths.set(service, path);
        return path;
    };

    return {
        monitorOf: service => of(service).monitor,
        ofUpstream: upstreamId => {
            const record = upstreams.records().find(known => known.upstreamId === upstreamId);
            return record === undefined ? undefined : of(record.service);
        },
        services: () => [...paths.keys()],
        [Symbol.asyncDispose]: () => resources[Symbol.asyncDispose](),
    };
};
