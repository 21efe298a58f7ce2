import type { ServiceRoute } from "./serviceRoute";

const ROUTE_PATTERN = /^\/services\/([a-z0-9][a-z0-9.-]{0,62})(\/.*)?$/;

/** Parses `/services/{name}/{path}`; `URL` has resolved dot segments, so the path cannot escape the service. */
export const parseServiceRoute = (url: URL): ServiceRoute | undefined => {
    const [, service, path = "/"] = ROUTE_PATTERN.exec(url.pathname) ?? [];
    return service === undefined ? undefined : { service, path: `${path}${url.search}` };
};
