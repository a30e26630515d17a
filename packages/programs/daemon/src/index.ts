export const packageName = '@turmericbay/daemon';
