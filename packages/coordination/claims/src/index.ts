export const packageName = '@turmericbay/claims';
