export const packageName = '@turmericbay/membership';
