import type { CompiledConfiguration } from "./compiledConfiguration";
import type { Route } from "./route";

/** Returns the route of the host with the longest path prefix that matches the path. */
export const findRoute = (configuration: CompiledConfiguration, host: string, path: string): Route | undefined =>
    configuration.routesByHost.get(host)?.find(route => path.startsWith(route.pathPrefix));
