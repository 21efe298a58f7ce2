declare const brandName: unique symbol;

/** A value of type `T` that only the code owning the brand `Name` should produce. */
export type Brand<T, Name extends string> = T & { readonly [brandName]: Name; };
