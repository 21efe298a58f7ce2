import type { CompiledConfiguration } from "./compiledConfiguration";
import type { GatewayConfiguration } from "./gatewayConfiguration";
import type { Route } from "./route";

const groupByHost = (routes: readonly Route[]): ReadonlyMap<string, readonly Route[]> => {
    const groups = new Map<string, Route[]>();
    [...routes]
        .sort((left, right) => right.pathPrefix.length - left.pathPrefix.length)
        .forEach(route => groups.set(route.host, [...groups.get(route.host) ?? [], route]));
    return groups;
};

/** Builds the lookup tables of a configuration. */
export const compileConfiguration = (source: GatewayConfiguration): CompiledConfiguration => ({
    source,
    routesByHost: groupByHost(source.routes),
    servicesByName: new Map(source.services.map(service => [service.name, service])),
    accountsByKey: new Map(source.accounts.flatMap(account => account.apiKeys.map(key => [key, account]))),
});
