import type { ServiceRoute } from "./serviceRoute";

const ROUTE_PATTERN = /^\/services\/([a-z0-9][a-z0-9.-]{0,62})(\/.*)?$/;

/** Parses `/services/{name}/{path}`; dot segments were resolved before, so the path cannot leave the service. */
export const parseServiceRoute = (url: URL): ServiceRoute | undefined => {
    const [, service, path = "/"] = ROUTE_PATTERN.exec(url.pathname) ?? [];
    return service === undefined ? undefined : { service, path: `${path}${url.search}` };
};
