figures {
}
