export const packageName = '@turmericbay/gateway';
