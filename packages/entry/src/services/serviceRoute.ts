/** Target of a call to a plain service, parsed from the request URL. */
export interface ServiceRoute {
    readonly service: string;
    /** Path and query string, relative to the service. */
    readonly path: string;
}
