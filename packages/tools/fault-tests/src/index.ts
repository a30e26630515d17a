export const packageName = '@turmericbay/fault-tests';
