export const packageName = '@turmericbay/routing';
