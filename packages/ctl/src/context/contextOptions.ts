/** Connection options from the command line; each is optional. */
export interface ContextOptions {
    readonly server?: string;
    readonly token?: string;
    readonly authorityFile?: string;
    readonly contextFile?: string;
}
