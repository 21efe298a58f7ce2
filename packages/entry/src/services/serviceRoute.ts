/** A call to a plain service, taken from the path of the request. */
export interface ServiceRoute {
    readonly service: string;
    /** Path and query at the service. */
    readonly path: string;
}
