export const packageName = '@turmericbay/settings';
